"""Unit tests, mostly one module for each module of the product, and their helpers."""
