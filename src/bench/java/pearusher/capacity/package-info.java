/**
 * The model of the fleet that docs/CAPACITY.md plans for, and the measurements behind that page.
 * Nothing here runs in service; the model is free of I/O and gives the same figures for the same
 * seed.
 */
package pearusher.capacity;
