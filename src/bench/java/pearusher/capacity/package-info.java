/**
 * The fleet model and the benchmarks behind docs/CAPACITY.md. They are not part of the assigner.
 * The model performs no I/O and is deterministic for a seed.
 */
package pearusher.capacity;
