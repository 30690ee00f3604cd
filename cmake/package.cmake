# foxtailrun_add_package (NAME LIBRARIES...): adds the static library fx-NAME from source/*.c and
# source/*.cc with its public headers under include/, and its test programs.
function (foxtailrun_add_package name)
  file (GLOB sources CONFIGURE_DEPENDS source/*.c source/*.cc)
  add_library (fx-${name} STATIC ${sources})
  target_include_directories (fx-${name} PUBLIC include PRIVATE source)
  target_link_libraries (fx-${name} PUBLIC ${ARGN})
  foxtailrun_add_tests (${name} fx-${name})
endfunction ()

# foxtailrun_add_tests (NAME LIBRARIES...): adds a test program for each tests/test-*.c file; the
# files tests/fixture-*.c are linked into each of them.
function (foxtailrun_add_tests name)
  file (GLOB tests CONFIGURE_DEPENDS tests/test-*.c)
  file (GLOB fixtures CONFIGURE_DEPENDS tests/fixture-*.c)
  foreach (test ${tests})
    get_filename_component (base ${test} NAME_WE)
    add_executable (${name}-${base} ${test} ${fixtures})
    target_include_directories (${name}-${base} PRIVATE tests source)
    target_link_libraries (${name}-${base} PRIVATE ${ARGN})
    add_test (NAME ${name}/${base} COMMAND ${name}-${base} --tap)
    set_tests_properties (${name}/${base} PROPERTIES TIMEOUT 300
                          ENVIRONMENT "LSAN_OPTIONS=suppressions=${CMAKE_SOURCE_DIR}/tools/lsan.supp:print_suppressions=0")
  endforeach ()
endfunction ()
