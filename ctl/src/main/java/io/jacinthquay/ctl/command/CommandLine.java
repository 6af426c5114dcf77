package io.jacinthquay.ctl.command;

import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Builds the command line of {@code jqctl}. */
public final class CommandLine {
  /** Where a parsed command line holds the {@link Command}. */
  public static final String COMMAND = "command_object";

  /** Where it holds the keepers' addresses. */
  public static final String KEEPERS = "keepers";

  /** Where it holds the folder of the operator's identity. */
  public static final String TLS = "tls";

  /** Where it holds the limit for one call, in milliseconds. */
  public static final String TIMEOUT_MILLIS = "timeout_ms";

  /** Where it holds whether results are JSON. */
  public static final String JSON = "json";

  private static final int DEFAULT_TIMEOUT_MILLIS = 10_000;

  private CommandLine() {}

  /**
   * Returns the parser.
   *
   * @param environment the environment variables, which flags override
   */
  public static ArgumentParser parser(Map<String, String> environment) {
    ArgumentParser parser =
        ArgumentParsers.newFor("jqctl")
            .terminalWidthDetection(false)
            .build()
            .description("Changes and shows the configuration and its state.");
    parser
        .addArgument("--keepers")
        .dest(KEEPERS)
        .setDefault(environment.get("JQ_KEEPERS"))
        .help("addresses of the keepers, ip:port with commas between [JQ_KEEPERS]");
    parser
        .addArgument("--tls")
        .dest(TLS)
        .setDefault(environment.get("JQ_TLS"))
        .help("folder with ca.pem, cert.pem and key.pem of the operator [JQ_TLS]");
    parser
        .addArgument("--timeout-ms")
        .dest(TIMEOUT_MILLIS)
        .type(Integer.class)
        .setDefault(DEFAULT_TIMEOUT_MILLIS)
        .help("limit for one call, in ms, beside the wait for confirmations [default: 10000]");
    parser
        .addArgument("--json")
        .dest(JSON)
        .action(Arguments.storeTrue())
        .help("print one line of JSON instead of a table");
    Subparsers subparsers = parser.addSubparsers().metavar("COMMAND");
    commands().forEach(command -> command.addTo(subparsers));
    return parser;
  }

  private static List<Command> commands() {
    return List.of(
        new ApplyCommand(),
        new DiffCommand(),
        new ShowCommand(),
        new HistoryCommand(),
        new KeyCommand(),
        new DomainCommand(),
        new DrainCommand(),
        new StatusCommand(),
        new UsageCommand(),
        new ReportCommand(),
        new TlsInitCommand());
  }
}
