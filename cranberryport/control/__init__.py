"""The controller, its state in the store, and the client that asks it questions."""
