/**
 * The command line: the commands, their arguments and the exit status of a run (0 done, 1 failed, 2
 * used wrongly). It never does the work of a command itself, nor loads the code of a command where
 * another one runs.
 */
package pearusher.cli;
