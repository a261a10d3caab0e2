/**
 * Configuration of one assigner process: environment variables and the JSON file that they name.
 * The values are validated together, have defaults, and are immutable once read.
 */
package pearusher.config;
