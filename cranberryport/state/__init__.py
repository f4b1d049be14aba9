"""Control state, computed by folding the records of the control stream in order."""
