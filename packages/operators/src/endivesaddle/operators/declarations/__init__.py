"""Declarations: the operators' TOML files, checked and turned into a configuration."""

from endivesaddle.operators.declarations.reading import read_declarations
from endivesaddle.operators.declarations.travelling import packed, read_travelled

__all__ = ('packed', 'read_declarations', 'read_travelled')
