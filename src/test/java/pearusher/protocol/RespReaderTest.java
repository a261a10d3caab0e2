package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading of RESP messages that arrive in pieces, rejection of malformed bytes, and limits. */
class RespReaderTest {
  /** Heap of a string of one character: two objects of 24 bytes each. */
  private static final int HEAP_BYTES_OF_SHORT_STRING = 48;

  private static RespReader reader() {
    return new RespReader(RespReader.MAX_MESSAGE_BYTES);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<List<String>> readAll(RespReader reader, byte[]... pieces)
      throws RespException {
    List<List<String>> messages = new ArrayList<>();
    for (byte[] piece : pieces) {
      ByteBuffer source = ByteBuffer.wrap(piece);
      List<String> message;
      while ((message = reader.next(source)) != null) {
        messages.add(message);
      }
      assertEquals(0, source.remaining());
    }
    return messages;
  }

  @Test
  void messageIsReadForAnySplit() throws Exception {
    List<String> strings =
        List.of("heard", "zone", "Île", "server", "s-1", "load", "", "tries", "\r\n$3");
    byte[] encoded =
        bytes(
            new String(RespWriter.encode(strings), StandardCharsets.UTF_8)
                + new String(RespWriter.encode(List.of("ping")), StandardCharsets.UTF_8));
    for (int cut = 0; cut <= encoded.length; cut++) {
      byte[] head = Arrays.copyOf(encoded, cut);
      byte[] tail = Arrays.copyOfRange(encoded, cut, encoded.length);
      assertEquals(
          List.of(strings, List.of("ping")), readAll(reader(), head, tail), "cut at " + cut);
    }
    byte[][] singleBytes = new byte[encoded.length][];
    for (int k = 0; k < encoded.length; k++) {
      singleBytes[k] = new byte[] {encoded[k]};
    }
    assertEquals(List.of(strings, List.of("ping")), readAll(reader(), singleBytes));
  }

  @Test
  void severalMessagesInOneBufferAreReadOneByOne() throws Exception {
    byte[] ping = RespWriter.encode(List.of("ping"));
    byte[] fifty = new byte[ping.length * 50];
    for (int k = 0; k < 50; k++) {
      System.arraycopy(ping, 0, fifty, k * ping.length, ping.length);
    }
    assertEquals(50, readAll(reader(), fifty).size());
  }

  /** A message of 1 MiB, including headers, is accepted; one byte more is not. */
  @Test
  void messageOfOneMebibyteIsReadAndLongerOneIsRejected() throws Exception {
    int headerBytes = RespWriter.encode(List.of("x".repeat(1_000_000))).length - 1_000_000;
    String fits = "x".repeat(RespReader.MAX_MESSAGE_BYTES - headerBytes);
    assertEquals(List.of(List.of(fits)), readAll(reader(), RespWriter.encode(List.of(fits))));
    byte[] over = RespWriter.encode(List.of(fits + "x"));
    RespException fault = assertThrows(RespException.class, () -> readAll(reader(), over));
    assertEquals(RespException.Kind.TOO_LONG, fault.kind());
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '`',
      value = {
        "GET / HTTP/1.1@,MALFORMED",
        "*-1@,MALFORMED",
        "*0@,MALFORMED",
        "*x@,MALFORMED",
        "*1@+ping@,MALFORMED",
        "*1@$-1@,MALFORMED",
        "*1@$4@pingXX,MALFORMED",
        "*1@$1048577@,TOO_LONG",
        "*1048577@,TOO_LONG",
        "*00000000000000000000001@,MALFORMED",
        "PING@,MALFORMED"
      })
  void malformedOrOverlongBytesAreRejected(String text, RespException.Kind kind) {
    byte[] encoded = bytes(text.replace("@", "\r\n"));
    assertEquals(kind, assertThrows(RespException.class, () -> readAll(reader(), encoded)).kind());
  }

  /**
   * Many connections may each announce a long message and never finish it. The unfinished bytes of
   * all readers together are bounded, and a closed reader releases its share.
   */
  @Test
  void longUnfinishedMessagesAreBoundedTogether() throws Exception {
    byte[] unfinished = bytes("*1\r\n$1000000\r\n" + "x".repeat(900_000));
    List<RespReader> readers = new ArrayList<>();
    RespException fault = null;
    for (int k = 0; k < 12 && fault == null; k++) {
      RespReader reader = reader();
      readers.add(reader);
      try {
        assertNull(reader.next(ByteBuffer.wrap(unfinished)));
      } catch (RespException e) {
        fault = e;
      }
    }
    assertEquals(RespException.Kind.TOO_LONG, fault.kind());
    // Small messages are still read, so that no well-behaved connection is rejected instead.
    byte[] small = RespWriter.encode(List.of("ping", "x".repeat(1000)));
    assertEquals(
        1,
        readAll(reader(), Arrays.copyOf(small, 500), Arrays.copyOfRange(small, 500, small.length))
            .size());
    readers.forEach(RespReader::close);
    assertNull(reader().next(ByteBuffer.wrap(bytes("*1\r\n"))));
  }

  /**
   * Hundreds of connections may each leave some kilobytes unfinished. Messages of proxies are
   * shorter than that, so most of these connections are rejected.
   */
  @Test
  void manyShortUnfinishedMessagesAreBoundedTogether() throws Exception {
    byte[] unfinished = bytes("*1\r\n$60000\r\n" + "x".repeat(30_000));
    List<RespReader> readers = new ArrayList<>();
    int rejected = 0;
    for (int k = 0; k < 600; k++) {
      readers.add(reader());
      try {
        assertNull(readers.get(k).next(ByteBuffer.wrap(unfinished)));
      } catch (RespException e) {
        assertEquals(RespException.Kind.TOO_LONG, e.kind());
        readers.get(k).close();
        rejected++;
      }
    }
    readers.forEach(RespReader::close);
    assertTrue(rejected >= 600 - (8 << 20) / 30_000, rejected + " of 600 rejected");
  }

  /**
   * Hundreds of connections may each leave kilobytes of one-character strings unfinished. Guards
   * against a limit on received bytes, of which such strings occupy seven times as many on the
   * heap.
   */
  @Test
  void unfinishedMessagesOfShortStringsAreBoundedByTheirHeap() throws Exception {
    int strings = 1_100;
    byte[] unfinished = bytes("*5000\r\n" + "$1\r\nx\r\n".repeat(strings));
    long before = UnfinishedMessageHeap.OF_THIS_PROCESS.totalBytes();
    List<RespReader> readers = new ArrayList<>();
    int accepted = 0;
    for (int k = 0; k < 2_000; k++) {
      RespReader reader = reader();
      readers.add(reader);
      try {
        assertNull(reader.next(ByteBuffer.wrap(unfinished)));
        accepted++;
      } catch (RespException e) {
        assertEquals(RespException.Kind.TOO_LONG, e.kind());
      }
    }
    long acceptedHeapBytes = (long) accepted * strings * HEAP_BYTES_OF_SHORT_STRING;
    assertTrue(acceptedHeapBytes <= 8 << 20, accepted + " messages accepted");
    long retained = UnfinishedMessageHeap.OF_THIS_PROCESS.totalBytes() - before;
    assertTrue(
        retained <= UnfinishedMessageHeap.OF_THIS_PROCESS.limitBytes(),
        retained + " bytes retained, those of rejected messages included");
    readers.forEach(RespReader::close);
    assertEquals(before, UnfinishedMessageHeap.OF_THIS_PROCESS.totalBytes());
  }

  /** Guards against a complete message that is no longer counted while its caller processes it. */
  @Test
  void aCompleteMessageIsCountedUntilTheNextOneIsRead() throws Exception {
    byte[] message = RespWriter.encode(Collections.nCopies(10_000, "x"));
    RespReader reader = reader();
    long before = UnfinishedMessageHeap.OF_THIS_PROCESS.totalBytes();
    assertNull(reader.next(ByteBuffer.wrap(message, 0, message.length - 1)));
    ByteBuffer end = ByteBuffer.wrap(message, message.length - 1, 1);
    assertEquals(10_000, reader.next(end).size());
    long whileProcessed = UnfinishedMessageHeap.OF_THIS_PROCESS.totalBytes() - before;
    assertTrue(whileProcessed >= 9_999L * HEAP_BYTES_OF_SHORT_STRING, whileProcessed + " bytes");
    assertNull(reader.next(end));
    assertEquals(before, UnfinishedMessageHeap.OF_THIS_PROCESS.totalBytes());
  }

  /** The limit of an unidentified connection is lower than that of a proxy, which raises it. */
  @Test
  void messageLimitIsSetPerReader() throws Exception {
    RespReader reader = new RespReader(100);
    byte[] over = RespWriter.encode(List.of("x".repeat(200)));
    assertEquals(
        RespException.Kind.TOO_LONG,
        assertThrows(RespException.class, () -> readAll(reader, over)).kind());
    RespReader raised = new RespReader(100);
    raised.setMaxMessageBytes(RespReader.MAX_MESSAGE_BYTES);
    assertEquals(1, readAll(raised, over).size());
  }
}
