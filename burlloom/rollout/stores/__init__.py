"""Where the book is kept: the record's SQLite file or PostgreSQL database, behind one interface."""

from .shelf import Away, Page, Shelf, Unreadable, book_of, text_of

__all__ = ["Away", "Page", "Shelf", "Unreadable", "book_of", "text_of"]
