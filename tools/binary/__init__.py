"""Parts of the build of the single-file program."""
