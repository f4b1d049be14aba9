"""The command-line tool ``cranberryport`` for operators."""
