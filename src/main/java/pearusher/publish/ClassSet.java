package pearusher.publish;

import java.util.function.IntConsumer;

/**
 * An immutable set of request classes, each identified by its position in the settings.
 *
 * @param bits one bit per class; the lowest bit stands for position 0
 */
public record ClassSet(int bits) {
  static final ClassSet EMPTY = new ClassSet(0);

  /** Returns a set that contains one class. */
  static ClassSet of(int requestClass) {
    return new ClassSet(1 << requestClass);
  }

  boolean isEmpty() {
    return bits == 0;
  }

  boolean contains(int requestClass) {
    return (bits >> requestClass & 1) != 0;
  }

  ClassSet union(ClassSet other) {
    return new ClassSet(bits | other.bits);
  }

  ClassSet minus(ClassSet other) {
    return new ClassSet(bits & ~other.bits);
  }

  /** Calls the action with the position of each class, in ascending order. */
  public void forEach(IntConsumer action) {
    for (int remaining = bits; remaining != 0; remaining &= remaining - 1) {
      action.accept(Integer.numberOfTrailingZeros(remaining));
    }
  }
}
