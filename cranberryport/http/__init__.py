"""HTTP server and client components with strict framing."""
