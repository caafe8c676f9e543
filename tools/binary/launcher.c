/* Starts Python from this one file, without a child process and without writing to a
 * file system.
 *
 * Each shared library is part of this program (see libraries.s, which the build
 * writes). It is copied to an anonymous memory file and loaded from there. The loader
 * takes a library that is already loaded for one with the same soname, so that loading
 * them in the order of their dependencies satisfies all of them. Python modules are in
 * a zip archive at the end of this file. */

#define _GNU_SOURCE
#include <Python.h>
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#define PROGRAM_FILE "/proc/self/exe"
#define FAILURE 1

struct library {
    const char *name;
    const char *start;
    const char *end;
};

extern const struct library libraries[];

static void fail(const char *what, const char *reason)
{
    fprintf(stderr, "goldcresthoist: cannot start: %s: %s\n", what, reason);
    exit(FAILURE);
}

static int copy_to_memory(const struct library *library)
{
    int fd = memfd_create(library->name, MFD_CLOEXEC);
    if (fd < 0)
        fail("memfd_create", "not available, Linux 3.17 or later is needed");
    const char *position = library->start;
    while (position < library->end) {
        ssize_t written = write(fd, position, library->end - position);
        if (written <= 0)
            fail(library->name, "not enough memory");
        position += written;
    }
    return fd;
}

/* The file stays open: the loader tells libraries apart by their path, which must not
 * be used for another one. */
static void *load(const struct library *library)
{
    char path[64];
    snprintf(path, sizeof path, "/proc/self/fd/%d", copy_to_memory(library));
    void *handle = dlopen(path, RTLD_NOW | RTLD_GLOBAL);
    if (handle == NULL)
        fail(library->name, dlerror());
    return handle;
}

static void *python;

static void *find(const char *name)
{
    void *symbol = dlsym(python, name);
    if (symbol == NULL)
        fail(name, "not in the Python library");
    return symbol;
}

#define PYTHON_FUNCTION(name) ((__typeof__(&name))find(#name))

static void check(PyStatus status)
{
    if (PYTHON_FUNCTION(PyStatus_Exception)(status))
        fail("Python", status.err_msg ? status.err_msg : "not initialised");
}

static void set(PyConfig *config, wchar_t **field, const wchar_t *value)
{
    check(PYTHON_FUNCTION(PyConfig_SetString)(config, field, value));
}

static void configure(PyConfig *config, int argc, char **argv)
{
    PyPreConfig before;
    PYTHON_FUNCTION(PyPreConfig_InitIsolatedConfig)(&before);
    before.utf8_mode = 1;
    check(PYTHON_FUNCTION(Py_PreInitialize)(&before));
    PYTHON_FUNCTION(PyConfig_InitIsolatedConfig)(config);
    config->parse_argv = 0;
    config->site_import = 0;
    config->write_bytecode = 0;
    config->pathconfig_warnings = 0;
    config->install_signal_handlers = 1;
    check(PYTHON_FUNCTION(PyConfig_SetBytesArgv)(config, argc, argv));
    set(config, &config->executable, L"" PROGRAM_FILE);
    set(config, &config->prefix, L"/");
    set(config, &config->exec_prefix, L"/");
    set(config, &config->base_prefix, L"/");
    set(config, &config->base_exec_prefix, L"/");
    config->module_search_paths_set = 1;
    check(PYTHON_FUNCTION(PyWideStringList_Append)(
        &config->module_search_paths, L"" PROGRAM_FILE));
    set(config, &config->run_filename, L"" PROGRAM_FILE);
}

int main(int argc, char **argv)
{
    const struct library *library;
    for (library = libraries; library->name != NULL; library++)
        python = load(library);
    PyConfig config;
    configure(&config, argc, argv);
    check(PYTHON_FUNCTION(Py_InitializeFromConfig)(&config));
    return PYTHON_FUNCTION(Py_RunMain)();
}
