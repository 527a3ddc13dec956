"""burlloom: decides, inside one server, what it takes, starts, turns away and calls."""
