"""Disables io_uring for this process with a seccomp filter.

libuv 1.49 and later uses io_uring for event polling regardless of
``UV_USE_IO_URING``, which only controls its file operations. The filter makes the
system call ``io_uring_setup`` fail with ``ENOSYS``, as on a kernel without io_uring.
libuv then polls with plain epoll calls.
"""

import ctypes
import errno

__all__ = ["refuse_io_uring"]

# The system call has the same number on all architectures, because Linux uses common
# numbers for the system calls that were added since 5.1.
IO_URING_SETUP = 425

# Constants of linux/prctl.h, linux/seccomp.h and linux/bpf_common.h.
PR_SET_SECCOMP = 22
PR_SET_NO_NEW_PRIVS = 38
SECCOMP_MODE_FILTER = 2
SECCOMP_RET_ALLOW = 0x7FFF0000
SECCOMP_RET_ERRNO = 0x00050000
# Classic BPF opcodes: BPF_LD | BPF_W | BPF_ABS, BPF_JMP | BPF_JEQ | BPF_K and
# BPF_RET | BPF_K.
BPF_LOAD_WORD = 0x20
BPF_JUMP_IF_EQUAL = 0x15
BPF_RETURN = 0x06
# Offset of the system call number in struct seccomp_data.
SYSCALL_NUMBER_OFFSET = 0


class _Instruction(ctypes.Structure):
    """``struct sock_filter``: one instruction of a classic BPF program."""

    _fields_ = [
        ("code", ctypes.c_uint16),
        ("if_true", ctypes.c_uint8),
        ("if_false", ctypes.c_uint8),
        ("operand", ctypes.c_uint32),
    ]


class _Program(ctypes.Structure):
    """``struct sock_fprog``: a classic BPF program."""

    _fields_ = [
        ("length", ctypes.c_uint16),
        ("instructions", ctypes.POINTER(_Instruction)),
    ]


def refuse_io_uring():
    """Make ``io_uring_setup`` fail in this thread and the threads it starts later.

    Returns
    -------
    bool
        Whether io_uring is now unavailable to this thread.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    instructions = (_Instruction * 4)(
        _Instruction(BPF_LOAD_WORD, 0, 0, SYSCALL_NUMBER_OFFSET),
        _Instruction(BPF_JUMP_IF_EQUAL, 0, 1, IO_URING_SETUP),
        _Instruction(BPF_RETURN, 0, 0, SECCOMP_RET_ERRNO | errno.ENOSYS),
        _Instruction(BPF_RETURN, 0, 0, SECCOMP_RET_ALLOW),
    )
    program = _Program(len(instructions), instructions)
    libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0)
    libc.prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, ctypes.byref(program))
    # Check the result: with a null pointer for its parameters, the system call has no
    # effect and fails with EFAULT if io_uring is still available.
    libc.syscall(IO_URING_SETUP, 1, None)
    return ctypes.get_errno() in (errno.ENOSYS, errno.EPERM)
