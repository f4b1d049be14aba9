"""Control state: a pure fold over the records of the control stream."""
