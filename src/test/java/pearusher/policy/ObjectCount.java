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
 * Size of an object's state: the number of objects of this project that are reachable from it, plus
 * the number of elements of their collections, maps and arrays. Settings and the receiver of
 * commands are not counted.
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

  private static boolean isProjectObject(Object object) {
    return object.getClass().getName().startsWith("pearusher.")
        && !(object instanceof Enum)
        && !(object instanceof PolicySettings)
        && !(object instanceof PolicyCommands);
  }

  private void enqueue(Object object) {
    boolean isCounted =
        object instanceof Collection
            || object instanceof Map
            || (object != null && (isProjectObject(object) || object.getClass().isArray()));
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
    } else if (object instanceof Collection<?> elements) {
      count += elements.size();
      elements.forEach(this::enqueue);
    } else if (object.getClass().isArray()) {
      count += Array.getLength(object);
      for (int k = 0; object instanceof Object[] elements && k < elements.length; k++) {
        enqueue(elements[k]);
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
          enqueue(valueOf(field, object));
        }
      }
    }
  }

  private static Object valueOf(Field field, Object owner) {
    try {
      field.setAccessible(true);
      return field.get(owner);
    } catch (IllegalAccessException e) {
      throw new IllegalStateException(e);
    }
  }
}
