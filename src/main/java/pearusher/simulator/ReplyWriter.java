package pearusher.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import pearusher.policy.PolicyCommands;

/**
 * Encoder of the commands of all instances as one reply. A record that names the instance precedes
 * the commands of each instance. Its buffer has the size of the longest reply so far.
 */
final class ReplyWriter implements PolicyCommands {
  private static final int HEADER_BYTES = 8;
  private static final int INITIAL_BYTES = 1 << 14;
  private static final int SERVER_BYTES = 6;
  private static final int MAX_TEXT_BYTES = 65_535;
  private static final long MAX_DELAY_US = 0xffff_ffffL;
  private static final int NO_INSTANCE = -1;

  private ByteBuffer buffer = newBuffer(INITIAL_BYTES);
  private int recordCount;

  /** Instance of the next command. */
  private int instance = NO_INSTANCE;

  /** Instance named by the last instance record of this reply. */
  private int namedInstance = NO_INSTANCE;

  private static ByteBuffer newBuffer(int bytes) {
    return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** Starts an empty reply. */
  void clear() {
    buffer.clear();
    buffer.position(HEADER_BYTES);
    recordCount = 0;
    namedInstance = NO_INSTANCE;
  }

  /** Sets the instance of the commands that follow. */
  void setInstance(int number) {
    instance = number;
  }

  /** Returns the reply with its header, which has the length of the records and their number. */
  byte[] toFrame() {
    buffer.putInt(0, buffer.position() - HEADER_BYTES);
    buffer.putInt(Integer.BYTES, recordCount);
    byte[] frame = new byte[buffer.position()];
    buffer.get(0, frame);
    return frame;
  }

  /** Starts a record of the current instance and ensures capacity for its fields. */
  private ByteBuffer startRecord(CommandCode code, int fieldBytes) {
    if (namedInstance != instance) {
      namedInstance = instance;
      appendRecord(CommandCode.INSTANCE, Short.BYTES).putShort((short) instance);
    }
    return appendRecord(code, fieldBytes);
  }

  private ByteBuffer appendRecord(CommandCode code, int fieldBytes) {
    ensureRemaining(fieldBytes + 1);
    recordCount++;
    return buffer.put(code.toByte());
  }

  private void ensureRemaining(int bytes) {
    if (buffer.remaining() >= bytes) {
      return;
    }
    ByteBuffer larger = newBuffer(Math.max(buffer.capacity() * 2, buffer.position() + bytes));
    buffer.flip();
    larger.put(buffer);
    buffer = larger;
  }

  /** Writes the IPv4 address (four bytes, most significant first) and the port of a server. */
  private static void putServer(ByteBuffer to, long server) {
    for (int shift = 40; shift >= 16; shift -= Byte.SIZE) {
      to.put((byte) (server >>> shift));
    }
    to.putShort((short) server);
  }

  private static byte flag(boolean value) {
    return (byte) (value ? 1 : 0);
  }

  private void writeText(CommandCode code, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(bytes.length, MAX_TEXT_BYTES);
    startRecord(code, Short.BYTES + length).putShort((short) length).put(bytes, 0, length);
  }

  @Override
  public void setWeight(int table, long server, double weight) {
    ByteBuffer fields =
        startRecord(CommandCode.SET_WEIGHT, Short.BYTES + SERVER_BYTES + Float.BYTES);
    fields.putShort((short) table);
    putServer(fields, server);
    fields.putFloat((float) weight);
  }

  @Override
  public void clearTable(int table) {
    startRecord(CommandCode.CLEAR_TABLE, Short.BYTES).putShort((short) table);
  }

  @Override
  public void eject(long server) {
    writeEjected(server, true);
  }

  @Override
  public void reinstate(long server) {
    writeEjected(server, false);
  }

  private void writeEjected(long server, boolean isEjected) {
    ByteBuffer fields = startRecord(CommandCode.SET_EJECTED, SERVER_BYTES + Byte.BYTES);
    putServer(fields, server);
    fields.put(flag(isEjected));
  }

  @Override
  public void bindProxy(int proxy, int table, int classBits) {
    startRecord(CommandCode.BIND_PROXY, 3 * Short.BYTES)
        .putShort((short) proxy)
        .putShort((short) table)
        .putShort((short) classBits);
  }

  @Override
  public void setAdmission(int table, int classBits, double level, int retry) {
    startRecord(CommandCode.SET_ADMISSION, Byte.BYTES + Float.BYTES + 2 * Short.BYTES)
        .put((byte) retry)
        .putFloat((float) level)
        .putShort((short) table)
        .putShort((short) classBits);
  }

  @Override
  public void requestAck(int number, boolean toAll) {
    startRecord(CommandCode.REQUEST_ACK, Integer.BYTES + Byte.BYTES)
        .putInt(number)
        .put(flag(toAll));
  }

  @Override
  public void watchEndpoints(boolean on) {
    startRecord(CommandCode.WATCH_ENDPOINTS, Byte.BYTES).put(flag(on));
  }

  @Override
  public void fetchEndpoints() {
    startRecord(CommandCode.FETCH_ENDPOINTS, 0);
  }

  @Override
  public void checkHealth(long server) {
    putServer(startRecord(CommandCode.CHECK_HEALTH, SERVER_BYTES), server);
  }

  @Override
  public void setTimer(long delayUs, long token) {
    startRecord(CommandCode.SET_TIMER, Integer.BYTES + Long.BYTES)
        .putInt((int) Math.max(0, Math.min(delayUs, MAX_DELAY_US)))
        .putLong(token);
  }

  @Override
  public void sendToPeer(long peer, byte[] body) {
    startRecord(CommandCode.SEND_TO_PEER, Integer.BYTES + Short.BYTES + body.length)
        .putInt((int) peer)
        .putShort((short) body.length)
        .put(body);
  }

  @Override
  public void log(String text) {
    writeText(CommandCode.LOG, text);
  }

  /** Writes that the current instance has failed and receives no further events. */
  void failure(String text) {
    writeText(CommandCode.FAILURE, text);
  }
}
