/* Runs Python from a single program file, without a child process and without writing
 * to a file system.
 *
 * The shared libraries are part of this program, see libraries.s, which the build
 * generates. Each is copied to an anonymous file in memory (memfd) and loaded from
 * there. The dynamic linker resolves a dependency with a library of the same soname
 * that is already loaded, so the libraries are loaded in the order of their
 * dependencies. The Python modules are in a zip archive at the end of the program
 * file. */

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

/* Does not close the file: the dynamic linker identifies libraries by their path, and a
 * reused descriptor would give another library the same path. */
static void *load_library(const struct library *library)
{
    char path[64];
    snprintf(path, sizeof path, "/proc/self/fd/%d", copy_to_memory(library));
    void *handle = dlopen(path, RTLD_NOW | RTLD_GLOBAL);
    if (handle == NULL)
        fail(library->name, dlerror());
    return handle;
}

/* Handle of the Python library. */
static void *python;

static void *find_function(const char *name)
{
    void *symbol = dlsym(python, name);
    if (symbol == NULL)
        fail(name, "not in the Python library");
    return symbol;
}

#define PYTHON_FUNCTION(name) ((__typeof__(&name))find_function(#name))

static void check_status(PyStatus status)
{
    if (PYTHON_FUNCTION(PyStatus_Exception)(status))
        fail("Python", status.err_msg ? status.err_msg : "not initialised");
}

static void set_string(PyConfig *config, wchar_t **field, const wchar_t *value)
{
    check_status(PYTHON_FUNCTION(PyConfig_SetString)(config, field, value));
}

static void configure(PyConfig *config, int argc, char **argv)
{
    PyPreConfig preconfig;
    PYTHON_FUNCTION(PyPreConfig_InitIsolatedConfig)(&preconfig);
    preconfig.utf8_mode = 1;
    check_status(PYTHON_FUNCTION(Py_PreInitialize)(&preconfig));
    PYTHON_FUNCTION(PyConfig_InitIsolatedConfig)(config);
    config->parse_argv = 0;
    config->site_import = 0;
    config->write_bytecode = 0;
    config->pathconfig_warnings = 0;
    config->install_signal_handlers = 1;
    check_status(PYTHON_FUNCTION(PyConfig_SetBytesArgv)(config, argc, argv));
    set_string(config, &config->executable, L"" PROGRAM_FILE);
    set_string(config, &config->prefix, L"/");
    set_string(config, &config->exec_prefix, L"/");
    set_string(config, &config->base_prefix, L"/");
    set_string(config, &config->base_exec_prefix, L"/");
    config->module_search_paths_set = 1;
    check_status(PYTHON_FUNCTION(PyWideStringList_Append)(
        &config->module_search_paths, L"" PROGRAM_FILE));
    set_string(config, &config->run_filename, L"" PROGRAM_FILE);
}

int main(int argc, char **argv)
{
    /* The build puts the Python library last. */
    const struct library *library;
    for (library = libraries; library->name != NULL; library++)
        python = load_library(library);
    PyConfig config;
    configure(&config, argc, argv);
    check_status(PYTHON_FUNCTION(Py_InitializeFromConfig)(&config));
    return PYTHON_FUNCTION(Py_RunMain)();
}
