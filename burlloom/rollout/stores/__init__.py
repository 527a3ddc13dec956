"""Where the book is kept: the record's SQLite file or PostgreSQL database, behind one interface."""

from .shelf import Page, Shelf, StoreUnavailableError, Unreadable, book_of, text_of

__all__ = ["StoreUnavailableError", "Page", "Shelf", "Unreadable", "book_of", "text_of"]
