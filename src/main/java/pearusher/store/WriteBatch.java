package pearusher.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An atomic set of changes to keyed values, in the order in which their keys were first added. Not
 * thread-safe.
 */
public final class WriteBatch {
  /** The length that is stored in place of a value's length if the key is deleted. */
  private static final int DELETED_LENGTH = -1;

  private static final int TYPICAL_CHANGE_BYTES = 32;

  private final Map<String, Optional<byte[]>> changes = new LinkedHashMap<>();

  /** Sets the value of a key. The array is not copied, so the caller must not change it. */
  public WriteBatch put(String key, byte[] value) {
    changes.put(key, Optional.of(value));
    return this;
  }

  /** Deletes a key and its value. */
  public WriteBatch delete(String key) {
    changes.put(key, Optional.empty());
    return this;
  }

  public boolean isEmpty() {
    return changes.isEmpty();
  }

  /** Returns the new values by key; the value is empty for a deleted key. */
  public Map<String, Optional<byte[]>> changes() {
    return changes;
  }

  /** Applies the changes to a map of all values. */
  public void applyTo(Map<String, byte[]> state) {
    changes.forEach(
        (key, value) ->
            value.ifPresentOrElse(bytes -> state.put(key, bytes), () -> state.remove(key)));
  }

  /** Encodes the changes as docs/store.md specifies them. */
  byte[] encode() {
    int expectedBytes = TYPICAL_CHANGE_BYTES + TYPICAL_CHANGE_BYTES * changes.size();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(expectedBytes);
    try (DataOutputStream output = new DataOutputStream(bytes)) {
      output.writeInt(changes.size());
      for (Map.Entry<String, Optional<byte[]>> change : changes.entrySet()) {
        output.writeUTF(change.getKey());
        writeValue(output, change.getValue());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void writeValue(DataOutputStream output, Optional<byte[]> value)
      throws IOException {
    if (value.isEmpty()) {
      output.writeInt(DELETED_LENGTH);
      return;
    }
    output.writeInt(value.get().length);
    output.write(value.get());
  }

  /**
   * Decodes the output of {@link #encode}.
   *
   * @throws IOException if the bytes are too few or too many, or a length is invalid
   */
  static WriteBatch decode(byte[] payload) throws IOException {
    WriteBatch batch = new WriteBatch();
    try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(payload))) {
      int count = input.readInt();
      for (int k = 0; k < count; k++) {
        batch.changes.put(input.readUTF(), readValue(input));
      }
      if (input.available() > 0) {
        throw new IOException(
            "batch is too long: "
                + input.available()
                + " bytes after the last of "
                + count
                + " changes");
      }
    }
    return batch;
  }

  private static Optional<byte[]> readValue(DataInputStream input) throws IOException {
    int length = input.readInt();
    if (length > input.available() || length < DELETED_LENGTH) {
      throw new IOException(
          "value length " + length + " is invalid: " + input.available() + " bytes remain");
    }
    return length == DELETED_LENGTH ? Optional.empty() : Optional.of(input.readNBytes(length));
  }
}
