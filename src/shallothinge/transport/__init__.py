"""Authenticated zmq connections between the project's processes."""
