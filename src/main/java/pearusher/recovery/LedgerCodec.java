package pearusher.recovery;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.Lifecycle;

/** Encodes and decodes the stored values of the ledger, as docs/store.md specifies them. */
final class LedgerCodec {
  /** Writes the fields of one value. */
  private interface FieldWriter {
    void writeTo(DataOutputStream output) throws IOException;
  }

  /** Reads the fields of one value. */
  interface FieldReader<T> {
    T readFrom(DataInputStream input) throws IOException;
  }

  private static final int TYPICAL_VALUE_BYTES = 32;

  private LedgerCodec() {}

  /**
   * Decodes a value.
   *
   * @throws IOException if the bytes are too few or too many
   */
  static <T> T decode(byte[] bytes, FieldReader<T> reader) throws IOException {
    try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes))) {
      T value = reader.readFrom(input);
      if (input.available() > 0) {
        throw new IOException(
            "stored value is too long: " + input.available() + " bytes after the last field");
      }
      return value;
    }
  }

  private static byte[] encode(FieldWriter writer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(TYPICAL_VALUE_BYTES);
    try (DataOutputStream output = new DataOutputStream(bytes)) {
      writer.writeTo(output);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  static byte[] encode(long number) {
    return encode(output -> output.writeLong(number));
  }

  static byte[] encode(LedgerHeader header) {
    return encode(
        output -> {
          output.writeLong(header.epoch());
          output.writeLong(header.iteration());
          output.writeLong(header.timeUs());
          output.writeInt(header.lastAckNumber());
          output.writeUTF(header.configuredNames());
        });
  }

  static LedgerHeader readHeader(DataInputStream input) throws IOException {
    return new LedgerHeader(
        input.readLong(), input.readLong(), input.readLong(), input.readInt(), input.readUTF());
  }

  static byte[] encode(WeightEntry entry) {
    return encode(
        output -> {
          output.writeDouble(entry.weight());
          output.writeLong(entry.iteration());
        });
  }

  static WeightEntry readWeight(DataInputStream input) throws IOException {
    return new WeightEntry(input.readDouble(), input.readLong());
  }

  static byte[] encode(AdmissionEntry entry) {
    return encode(
        output -> {
          output.writeDouble(entry.level().shareOrRate());
          output.writeByte(entry.level().retryMode());
          output.writeLong(entry.iteration());
        });
  }

  static AdmissionEntry readAdmission(DataInputStream input) throws IOException {
    AdmissionLevel level = new AdmissionLevel(input.readDouble(), input.readByte());
    return new AdmissionEntry(level, input.readLong());
  }

  static byte[] encode(EjectionEntry entry) {
    return encode(
        output -> {
          output.writeBoolean(entry.isEjected());
          output.writeLong(entry.iteration());
          output.writeLong(entry.timeUs());
        });
  }

  static EjectionEntry readEjection(DataInputStream input) throws IOException {
    return new EjectionEntry(input.readBoolean(), input.readLong(), input.readLong());
  }

  static byte[] encode(ProxyEntry entry) {
    return encode(
        output -> {
          output.writeInt(entry.table());
          output.writeLong(entry.completeIteration());
          output.writeLong(entry.acknowledgedIteration());
        });
  }

  static ProxyEntry readProxy(DataInputStream input) throws IOException {
    return new ProxyEntry(input.readInt(), input.readLong(), input.readLong());
  }

  // The ordinals of the lifecycle states are part of the stored format: append new states only.
  @SuppressWarnings("EnumOrdinal")
  static byte[] encode(ListedServer server) {
    return encode(
        output -> {
          output.writeBoolean(server.hostPort() != null);
          output.writeUTF(server.hostPort() == null ? "" : server.hostPort());
          output.writeInt(server.zone());
          output.writeInt(server.machineType());
          output.writeInt(server.cell());
          output.writeByte(server.lifecycle().ordinal());
          output.writeDouble(server.weight());
          output.writeLong(server.startedUs());
        });
  }

  static ListedServer readServer(String name, DataInputStream input) throws IOException {
    boolean hasAddress = input.readBoolean();
    String hostPort = input.readUTF();
    int zone = input.readInt();
    int machineType = input.readInt();
    int cell = input.readInt();
    Lifecycle lifecycle = readLifecycle(input);
    return new ListedServer(
        name,
        hasAddress ? hostPort : null,
        zone,
        machineType,
        cell,
        lifecycle,
        input.readDouble(),
        input.readLong());
  }

  // The ordinals of the lifecycle states are part of the stored format.
  @SuppressWarnings("EnumOrdinal")
  private static Lifecycle readLifecycle(DataInputStream input) throws IOException {
    int ordinal = input.readByte();
    if (ordinal < 0 || ordinal >= Lifecycle.values().length) {
      throw new IOException("unknown lifecycle state " + ordinal);
    }
    return Lifecycle.values()[ordinal];
  }
}
