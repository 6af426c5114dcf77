package io.jacinthquay.ctl.command;

import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Creates the command-line parser of {@code jqctl}. */
public final class CommandLine {
  /** Key of the {@link Command} in the parsed arguments. */
  public static final String COMMAND = "command_object";

  /** Key of the keepers' addresses. */
  public static final String KEEPERS = "keepers";

  /** Key of the folder with the operator's identity. */
  public static final String TLS = "tls";

  /** Key of the call timeout, in milliseconds. */
  public static final String TIMEOUT_MILLIS = "timeout_ms";

  /** Key of the flag that results are printed as JSON. */
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
        .help("addresses of the keepers, as comma-separated ip:port [JQ_KEEPERS]");
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
        .help("timeout of one call, in ms, without the wait for confirmations [default: 10000]");
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
