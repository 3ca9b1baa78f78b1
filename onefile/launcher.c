/* Starts Python inside this process, with the archive appended to this file
 * as its only import path. No child process and no unpacking to disk. */

#define PY_SSIZE_T_CLEAN
#include <Python.h>

#include <dlfcn.h>
#include <stdio.h>
#include <unistd.h>

#define PATH_BYTES 4096

/* Loads a shared library for all later ones, so that extension modules find
 * the libraries that they name. */
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
    {"load_library", load_library, METH_VARARGS, "Load a shared library."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef module = {
    PyModuleDef_HEAD_INIT, "_launcher", NULL, -1, methods,
    NULL, NULL, NULL, NULL,
};

static PyObject *init_launcher(void) { return PyModule_Create(&module); }

static void check(PyStatus status) {
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }
}

int main(int argc, char **argv) {
    char path[PATH_BYTES];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
    if (length < 0) {
        perror("readlink /proc/self/exe");
        return 1;
    }
    path[length] = '\0';
    wchar_t *archive = Py_DecodeLocale(path, NULL);

    PyImport_AppendInittab("_launcher", init_launcher);
    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    config.parse_argv = 0;
    config.write_bytecode = 0;
    config.site_import = 0;
    config.install_signal_handlers = 1;
    config.module_search_paths_set = 1;
    check(PyConfig_SetString(&config, &config.home, L"/"));
    check(PyConfig_SetString(&config, &config.executable, archive));
    check(PyWideStringList_Append(&config.module_search_paths, archive));
    check(PyConfig_SetBytesArgv(&config, argc, argv));
    check(Py_InitializeFromConfig(&config));
    PyConfig_Clear(&config);

    int code = PyRun_SimpleString(
        "import memory_extensions\n"
        "memory_extensions.install()\n"
        "import runpy\n"
        "runpy.run_module('apricotpin', run_name='__main__')\n");
    int flushed = Py_FinalizeEx();
    return code != 0 || flushed != 0;
}
