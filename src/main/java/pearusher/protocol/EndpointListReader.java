package pearusher.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteBufferFeeder;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/**
 * Reads lists of servers from bytes as they arrive, one JSON object after the other. One reader
 * serves one response of discovery, on one thread. It grows with the servers listed, not with the
 * length of the text. Malformed text is reported at the end of its object, a list that exceeds the
 * limits at once.
 */
public final class EndpointListReader {
  private static final String DOCUMENT_NAME = "list";

  /** A character takes at most six bytes: a backslash, the letter u and four digits. */
  private static final int MAX_BYTES_PER_CHARACTER = 6;

  private final WireNames names;
  private final EndpointListLimits limits;
  private final JsonFactory factory;

  /** Null before the first byte of an object. */
  private JsonParser parser;

  private EndpointListBuilder builder;
  private SettingsException fault;

  /** Bytes since the last token, which the parser buffers. */
  private long unparsedBytes;

  /** Whether nothing came since the last object, or only a carriage return. */
  private boolean lineEmpty = true;

  /**
   * Creates a reader.
   *
   * @param names the names of zones and machine types
   * @param limits the limits that each list must keep
   */
  public EndpointListReader(WireNames names, EndpointListLimits limits) {
    this.names = names;
    this.limits = limits;
    factory = createFactory(limits);
  }

  /** Creates a factory whose parsers keep no table of field names, which new ones could flood. */
  private static JsonFactory createFactory(EndpointListLimits limits) {
    return JsonFactory.builder()
        .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
        .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
        .streamReadConstraints(
            StreamReadConstraints.builder().maxStringLength(limits.maxTextLength()).build())
        .build();
  }

  /**
   * Consumes all remaining bytes of a buffer.
   *
   * @param bytes the bytes received, without the end of a line
   * @throws EndpointListTooLongException if the list exceeds the limits
   */
  public void feed(ByteBuffer bytes) throws EndpointListTooLongException {
    if (!bytes.hasRemaining()) {
      return;
    }
    lineEmpty = lineEmpty && parser == null && isCarriageReturn(bytes);
    if (fault == null) {
      parseOrRecordFault(bytes);
    }
    bytes.position(bytes.limit());
  }

  private static boolean isCarriageReturn(ByteBuffer bytes) {
    return bytes.remaining() == 1 && bytes.get(bytes.position()) == '\r';
  }

  private void parseOrRecordFault(ByteBuffer bytes) throws EndpointListTooLongException {
    try {
      parse(bytes);
    } catch (EndpointListTooLongException e) {
      reset();
      throw e;
    } catch (SettingsException e) {
      recordFault(e);
    } catch (IOException e) {
      recordFault(PathValues.malformed(DOCUMENT_NAME, e));
    }
  }

  private void parse(ByteBuffer bytes) throws IOException, SettingsException {
    openParser();
    unparsedBytes += bytes.remaining();
    feeder().feedInput(bytes);
    processTokens();
    // The parser checks the length of a number only at its end.
    if (unparsedBytes > (long) limits.maxTextLength() * MAX_BYTES_PER_CHARACTER) {
      throw new SettingsException(
          DOCUMENT_NAME + ": malformed JSON: a value of over " + unparsedBytes + " bytes");
    }
  }

  /** Returns whether the current object has a fault, which will be reported at its end. */
  boolean hasFault() {
    return fault != null;
  }

  /** Records the fault of the current object, the rest of which is ignored. */
  private void recordFault(SettingsException cause) {
    reset();
    lineEmpty = false;
    fault = cause;
  }

  private void openParser() throws IOException {
    if (parser == null) {
      parser = factory.createNonBlockingByteBufferParser();
      builder = new EndpointListBuilder(DOCUMENT_NAME, "", names, limits);
    }
  }

  private ByteBufferFeeder feeder() {
    return (ByteBufferFeeder) parser.getNonBlockingInputFeeder();
  }

  private void processTokens() throws IOException, SettingsException {
    JsonToken token = parser.nextToken();
    while (token != null && token != JsonToken.NOT_AVAILABLE) {
      unparsedBytes = 0;
      builder.accept(token, parser);
      token = parser.nextToken();
    }
  }

  /**
   * Ends the current line; the next byte begins another one.
   *
   * @return the list of the line; empty for an empty line
   * @throws SettingsException if the line is not a valid list
   */
  public Optional<EndpointList> endOfLine() throws SettingsException {
    if (lineEmpty) {
      reset();
      return Optional.empty();
    }
    return Optional.of(endOfBody());
  }

  /**
   * Ends the body of a response that holds one list.
   *
   * @return the list
   * @throws SettingsException if the body is not a valid list
   */
  public EndpointList endOfBody() throws SettingsException {
    try {
      if (fault == null) {
        openParser();
        feeder().endOfInput();
        processTokens();
      }
      if (fault != null) {
        throw fault;
      }
      if (!builder.isComplete()) {
        throw EndpointListBuilder.notAnObject(DOCUMENT_NAME);
      }
      return builder.build();
    } catch (IOException e) {
      throw PathValues.malformed(DOCUMENT_NAME, e);
    } finally {
      reset();
    }
  }

  private void reset() {
    JsonParser previous = parser;
    parser = null;
    builder = null;
    fault = null;
    unparsedBytes = 0;
    lineEmpty = true;
    if (previous != null) {
      close(previous);
    }
  }

  private static void close(JsonParser parser) {
    try {
      parser.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Reads the list that a document holds under a key.
   *
   * @param documentName the name of the document, which begins each fault
   * @param key the top-level key of the list
   * @param document the document, which must be well-formed JSON
   * @param names the names of zones and machine types
   * @param limits the limits that the list must keep
   * @return the list; an empty one if the document has none
   * @throws IOException if the document cannot be read
   * @throws SettingsException if the list is not valid
   */
  public static EndpointList readUnderKey(
      String documentName,
      String key,
      InputStream document,
      WireNames names,
      EndpointListLimits limits)
      throws IOException, SettingsException {
    EndpointListBuilder found = null;
    try (JsonParser parser = createFactory(limits).createParser(document)) {
      parser.nextToken();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        boolean matches = parser.currentName().equals(key);
        if (parser.nextToken() == JsonToken.START_OBJECT && matches) {
          found = new EndpointListBuilder(documentName, key + ".", names, limits);
          build(found, parser);
        } else {
          parser.skipChildren();
        }
      }
    } catch (EndpointListTooLongException e) {
      throw new EndpointListTooLongException(
          documentName + ": the key " + key + ".instances names " + e.getMessage());
    }
    return found != null && found.hasGeneration() ? found.build() : EndpointList.EMPTY;
  }

  private static void build(EndpointListBuilder builder, JsonParser parser)
      throws IOException, SettingsException {
    for (JsonToken token = parser.currentToken(); token != null; token = parser.nextToken()) {
      builder.accept(token, parser);
      if (builder.isComplete()) {
        return;
      }
    }
  }
}
