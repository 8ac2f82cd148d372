# Helpers that declare one library and its one test program.

# daisymount_library(NAME <name> SOURCES ... LINK ...)
function(daisymount_library)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;LINK" ${ARGN})
    add_library(daisymount_${ARG_NAME} STATIC ${ARG_SOURCES})
    target_include_directories(daisymount_${ARG_NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(daisymount_${ARG_NAME} PUBLIC ${ARG_LINK})
endfunction()

# daisymount_test(NAME <name> SOURCES ... LINK ...)
function(daisymount_test)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;LINK" ${ARGN})
    add_executable(${ARG_NAME}_tests ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/framework/tests/main.cpp)
    target_link_libraries(${ARG_NAME}_tests PRIVATE daisymount_${ARG_NAME} ${ARG_LINK} CppUTest)
    add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME}_tests)
endfunction()
