/**
 * Command line: the commands, their arguments and the exit status (0 for success, 1 for failure, 2
 * for wrong usage or invalid settings). The package delegates the work of a command to other
 * packages. Running a command does not load the code of the others.
 */
package pearusher.cli;
