"""Keeps this process from using io_uring.

libuv 1.49 and later sets up an io_uring for its event polling whatever
``UV_USE_IO_URING`` says; the variable only governs its file operations. A seccomp
filter makes ``io_uring_setup`` fail as on a kernel without it, and libuv then polls
with plain epoll calls.
"""

import ctypes
import errno

__all__ = ["refuse_io_uring"]

# The same number on all architectures, because the call was added after Linux unified
# the numbers of new calls.
IO_URING_SETUP = 425

PR_SET_SECCOMP = 22
PR_SET_NO_NEW_PRIVS = 38
SECCOMP_MODE_FILTER = 2
SECCOMP_RET_ALLOW = 0x7FFF0000
SECCOMP_RET_ERRNO = 0x00050000
LOAD_WORD = 0x20
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
OFFSET_OF_CALL_NUMBER = 0


class _Instruction(ctypes.Structure):
    _fields_ = [
        ("code", ctypes.c_uint16),
        ("if_true", ctypes.c_uint8),
        ("if_false", ctypes.c_uint8),
        ("operand", ctypes.c_uint32),
    ]


class _Program(ctypes.Structure):
    _fields_ = [
        ("length", ctypes.c_uint16),
        ("instructions", ctypes.POINTER(_Instruction)),
    ]


def refuse_io_uring():
    """Make ``io_uring_setup`` fail in this thread and those it starts later.

    Returns
    -------
    bool
        Whether io_uring is now out of reach of this thread.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    instructions = (_Instruction * 4)(
        _Instruction(LOAD_WORD, 0, 0, OFFSET_OF_CALL_NUMBER),
        _Instruction(JUMP_IF_EQUAL, 0, 1, IO_URING_SETUP),
        _Instruction(RETURN, 0, 0, SECCOMP_RET_ERRNO | errno.ENOSYS),
        _Instruction(RETURN, 0, 0, SECCOMP_RET_ALLOW),
    )
    program = _Program(len(instructions), instructions)
    libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0)
    libc.prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, ctypes.byref(program))
    # Without parameters the call has no effect, and fails with EFAULT if it exists.
    libc.syscall(IO_URING_SETUP, 1, None)
    return ctypes.get_errno() in (errno.ENOSYS, errno.EPERM)
