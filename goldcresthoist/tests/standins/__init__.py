"""Test servers that stand in for the platform services and for upstreams."""
