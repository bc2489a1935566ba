# Debian package of both programs with their example settings.
set(CPACK_GENERATOR DEB)
set(CPACK_PACKAGE_NAME cassiarelay)
set(CPACK_PACKAGE_CONTACT "cassiarelay developers <developers@cassiarelay.example>")
set(CPACK_PACKAGE_DESCRIPTION_SUMMARY "Serving system for multi-stage model pipelines")
set(CPACK_DEBIAN_PACKAGE_SHLIBDEPS ON)
set(CPACK_STRIP_FILES ON)
include(CPack)
