/**
 * The operators' own settings: the grammar of the file, the keys, their checks and the values in
 * force. Configuration that the platform gives as JSON is read elsewhere. This package never acts
 * on a value, and gives each fault its position.
 */
package pearusher.operatorsettings;
