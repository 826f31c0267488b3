"""Serving layer for prompts of very unlike lengths on one fleet."""

__version__ = '0.1.0'
