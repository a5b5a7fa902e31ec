"""Work that one gateway does for all, dealt out over those that live."""
