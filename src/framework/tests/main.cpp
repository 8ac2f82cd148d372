// Entry point shared by every CppUTest program.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char **argv)
{
    // Libraries keep process-wide caches that leak detection by allocation count would report.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
