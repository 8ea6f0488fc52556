# Adds the library NAME from all .cpp files of the calling folder.
# Arguments after NAME are the libraries it depends on publicly.
function(damaskledge_library NAME)
  file(GLOB files CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(files)
    add_library(${NAME} STATIC ${files})
    target_include_directories(${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/source)
    target_link_libraries(${NAME} PUBLIC ${ARGN})
  else()
    add_library(${NAME} INTERFACE)
    target_include_directories(${NAME} INTERFACE ${PROJECT_SOURCE_DIR}/source)
    target_link_libraries(${NAME} INTERFACE ${ARGN})
  endif()
endfunction()

# Adds the doctest program NAME from all *_test.cpp files of the calling folder
# and registers it with CTest. Arguments after NAME are the libraries under test.
function(damaskledge_test NAME)
  file(GLOB files CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
  if(NOT files)
    return()
  endif()
  add_executable(${NAME} ${files} ${PROJECT_SOURCE_DIR}/tests/test_main.cpp)
  target_include_directories(${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${NAME} PRIVATE ${ARGN})
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${NAME} COMMAND ${NAME})
endfunction()
