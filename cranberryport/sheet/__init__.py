"""The sheet: reading, checking, merging and signing."""
