/**
 * The configuration of one assigner process: environment variables and the JSON file that they
 * name, checked as a whole, with defaults. Immutable once read.
 */
package pearusher.config;
