"""HTTP server and client components that reject messages with ambiguous framing."""
