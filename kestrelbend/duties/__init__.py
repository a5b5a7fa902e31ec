"""Work that one gateway does for all, dealt out over those that live."""


def probes_shared(settings, allowed):
    """Whether probes of cold backends are duties: then the module must ask none of its own."""
    return bool(allowed and settings["may_probe"] and settings["load_reports"] == "probe")
