"""Settings of a node, loaded from an INI file and checked before the start."""

from crocusroad_node.settings._fault import SettingFault
from crocusroad_node.settings._load import load_settings
from crocusroad_node.settings._settings import Settings

__all__ = ['SettingFault', 'Settings', 'load_settings']
