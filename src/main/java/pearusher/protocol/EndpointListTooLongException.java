package pearusher.protocol;

import pearusher.sitesettings.SettingsException;

/** A list of more servers than the heap can hold; the text names the limit. */
public final class EndpointListTooLongException extends SettingsException {
  private static final long serialVersionUID = 1L;

  EndpointListTooLongException(String message) {
    super(message);
  }
}
