"""Settings of a node: read from INI, checked whole before anything starts."""

from crocusroad_node.settings._fault import SettingFault
from crocusroad_node.settings._load import load_settings
from crocusroad_node.settings._settings import Settings

__all__ = ['SettingFault', 'Settings', 'load_settings']
