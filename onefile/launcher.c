/* Runs the Python interpreter in this process. Its only import path is the zip
 * archive that is appended to this executable file, so that it needs neither a
 * child process nor files unpacked to disk. */

#define PY_SSIZE_T_CLEAN
#include <Python.h>

#include <dlfcn.h>
#include <stdio.h>
#include <unistd.h>

#define PATH_BYTES_MAX 4096

/* Loads a shared library and makes its symbols global, so that extension
 * modules that are loaded later find the libraries that they are linked with. */
static PyObject *load_library(PyObject *self, PyObject *args) {
    const char *path = NULL;
    (void)self;
    if (!PyArg_ParseTuple(args, "s", &path)) {
        return NULL;
    }
    if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef methods[] = {
    {"load_library", load_library, METH_VARARGS,
     "Load a shared library with global symbols."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef module = {
    PyModuleDef_HEAD_INIT, "_launcher", NULL, -1, methods,
    NULL, NULL, NULL, NULL,
};

static PyObject *init_launcher(void) { return PyModule_Create(&module); }

static void exit_on_error(PyStatus status) {
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }
}

int main(int argc, char **argv) {
    char path[PATH_BYTES_MAX];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
    if (length < 0) {
        perror("readlink /proc/self/exe");
        return 1;
    }
    path[length] = '\0';
    wchar_t *program_path = Py_DecodeLocale(path, NULL);

    PyImport_AppendInittab("_launcher", init_launcher);
    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    config.parse_argv = 0;
    config.write_bytecode = 0;
    config.site_import = 0;
    config.install_signal_handlers = 1;
    config.module_search_paths_set = 1;
    exit_on_error(PyConfig_SetString(&config, &config.home, L"/"));
    exit_on_error(
        PyConfig_SetString(&config, &config.executable, program_path));
    exit_on_error(
        PyWideStringList_Append(&config.module_search_paths, program_path));
    exit_on_error(PyConfig_SetBytesArgv(&config, argc, argv));
    exit_on_error(Py_InitializeFromConfig(&config));
    PyConfig_Clear(&config);

    int run_error = PyRun_SimpleString(
        "import memory_extensions\n"
        "memory_extensions.install()\n"
        "import runpy\n"
        "runpy.run_module('apricotpin', run_name='__main__')\n");
    int finalize_error = Py_FinalizeEx();
    return run_error != 0 || finalize_error != 0;
}
