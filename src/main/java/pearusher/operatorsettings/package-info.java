/**
 * The operators' own settings: the file's grammar, the keys that there are, their checks and the
 * values in force. It owns no other configuration: what the platform gives as JSON is read
 * elsewhere. It must never act on a value, nor let a fault pass without its place.
 */
package pearusher.operatorsettings;
