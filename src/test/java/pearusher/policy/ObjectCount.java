package pearusher.policy;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the state of an object: objects of this product that can be reached from it, and the
 * elements of their collections, maps and arrays. Settings and the receiver of commands are not
 * counted.
 */
final class ObjectCount {
  private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Deque<Object> pending = new ArrayDeque<>();
  private long count;

  private ObjectCount() {}

  static long of(Object root) {
    ObjectCount counter = new ObjectCount();
    counter.enqueue(root);
    while (!counter.pending.isEmpty()) {
      counter.visit(counter.pending.pop());
    }
    return counter.count;
  }

  private static boolean isOwn(Object object) {
    return object.getClass().getName().startsWith("pearusher.")
        && !(object instanceof Enum)
        && !(object instanceof PolicySettings)
        && !(object instanceof PolicyCommands);
  }

  private void enqueue(Object object) {
    boolean isCounted =
        object instanceof Collection
            || object instanceof Map
            || (object != null && (isOwn(object) || object.getClass().isArray()));
    if (isCounted && seen.add(object)) {
      pending.push(object);
    }
  }

  private void visit(Object object) {
    if (object instanceof Map<?, ?> map) {
      count += map.size();
      map.forEach(
          (key, value) -> {
            enqueue(key);
            enqueue(value);
          });
    } else if (object instanceof Collection<?> all) {
      count += all.size();
      all.forEach(this::enqueue);
    } else if (object.getClass().isArray()) {
      count += Array.getLength(object);
      for (int k = 0; object instanceof Object[] all && k < all.length; k++) {
        enqueue(all[k]);
      }
    } else {
      count++;
      visitFields(object);
    }
  }

  private void visitFields(Object object) {
    for (Class<?> type = object.getClass(); type != Object.class; type = type.getSuperclass()) {
      for (Field field : type.getDeclaredFields()) {
        if (!Modifier.isStatic(field.getModifiers()) && !field.getType().isPrimitive()) {
          enqueue(read(field, object));
        }
      }
    }
  }

  private static Object read(Field field, Object from) {
    try {
      field.setAccessible(true);
      return field.get(from);
    } catch (IllegalAccessException e) {
      throw new IllegalStateException(e);
    }
  }
}
