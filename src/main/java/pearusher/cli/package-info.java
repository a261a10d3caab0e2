/**
 * The command line: which command does what, with which arguments, and how a run ends (0; 1 failed;
 * 2 used wrongly). It must never do a command's work itself, nor load a command's code where
 * another one runs.
 */
package pearusher.cli;
