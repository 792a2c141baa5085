# Everything but the edge: the daemon, the command line, the stand-ins, tests
# and benches.

find_package(Qt6 REQUIRED COMPONENTS Core)
find_package(prometheus-cpp REQUIRED)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(CPPUNIT REQUIRED IMPORTED_TARGET cppunit)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)

chicory_package(cbor chicory_base Qt6::Core)
chicory_package(packet chicory_cbor)
chicory_package(rules chicory_cbor)
chicory_package(core chicory_rules chicory_packet)
chicory_package(peer chicory_core PkgConfig::NGHTTP2)
chicory_package(store chicory_core PkgConfig::HTTPLIB)

# easylogging++ comes as a source that each program compiles.
find_file(EASYLOGGING_SOURCE easylogging++.cc PATHS /usr/include REQUIRED)
add_library(easylogging STATIC ${EASYLOGGING_SOURCE})
target_compile_definitions(easylogging PUBLIC ELPP_THREAD_SAFE
  ELPP_NO_DEFAULT_LOG_FILE ELPP_FORCE_USE_STD_THREAD)
chicory_package(daemon chicory_peer chicory_store easylogging
  prometheus-cpp::core Threads::Threads)


chicory_program(chicoryd programs/chicoryd chicory_daemon)
chicory_program(chicoryctl programs/chicoryctl chicory_store Threads::Threads)
chicory_program(standin-platform standins/platform Qt6::Core
  PkgConfig::HTTPLIB Threads::Threads chicory_flags)
chicory_program(standin-backend standins/backend chicory_packet
  PkgConfig::HTTPLIB Threads::Threads)
chicory_program(standin-fabric standins/fabric chicory_packet
  PkgConfig::HTTPLIB Threads::Threads)
chicory_program(standin-wire standins/wire chicory_cbor PkgConfig::HTTPLIB
  Threads::Threads)

file(GLOB test_sources CONFIGURE_DEPENDS tests/*.cpp)
add_executable(chicory-tests ${test_sources})
target_link_libraries(chicory-tests PRIVATE chicory_daemon chicory_platform
  chicory_edge PkgConfig::CPPUNIT
  PkgConfig::HTTPLIB
  rapidcheck)
target_include_directories(chicory-tests PRIVATE lib .)
target_compile_definitions(chicory-tests PRIVATE
  CHICORY_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
enable_testing()
# One ctest test for each class, so that they run side by side.
foreach(source ${test_sources})
  get_filename_component(name ${source} NAME_WE)
  if(name MATCHES "Test$")
    add_test(NAME ${name} COMMAND chicory-tests ${name})
    # Many times what the slowest takes: a test that hangs fails.
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endforeach()

find_package(Python3 REQUIRED COMPONENTS Interpreter)
add_test(NAME follow_test
  COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/follow_test.py)

add_executable(bench-core bench/CoreBench.cpp)
target_link_libraries(bench-core PRIVATE chicory_peer)
add_executable(bench-forward bench/ForwardBench.cpp)
target_link_libraries(bench-forward PRIVATE chicory_packet Threads::Threads)
add_executable(bench-imbalance bench/ImbalanceBench.cpp)
target_link_libraries(bench-imbalance PRIVATE chicory_core)
add_executable(bench-edge bench/EdgeBench.cpp)
target_link_libraries(bench-edge PRIVATE chicory_platform)
target_include_directories(bench-edge PRIVATE .)
add_executable(bench-selection bench/SelectionBench.cpp)
target_link_libraries(bench-selection PRIVATE chicory_token)
