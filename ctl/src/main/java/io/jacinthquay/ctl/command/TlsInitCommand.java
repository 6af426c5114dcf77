package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Makes an authority and identities for a trial; the authority's key is not kept. */
final class TlsInitCommand implements Command {
  /** One identity in JSON. */
  record Line(String name, String role, String folder) {}

  /** The JSON form of the result. */
  record Result(List<Line> identities) {}

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser =
        subparsers.addParser("tls-init").help("make an authority and identities for a trial");
    parser.setDefault(CommandLine.COMMAND, this);
    parser.addArgument("--out").required(true).help("folder that receives a folder per identity");
    parser
        .addArgument("identity")
        .nargs("+")
        .help("name=role with the role operator, router, keeper or controller");
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    Path out = Path.of(args.getString("out"));
    try {
      List<PeerIdentity> peers = new ArrayList<>();
      for (String text : args.<String>getList("identity")) {
        peers.add(peer(text));
      }
      return issue(peers, out, context);
    } catch (IllegalArgumentException e) {
      return context.fail(Failure.of(ResultCode.SETTINGS_INVALID, e.getMessage()));
    } catch (IOException e) {
      return context.fail(Failure.of(ResultCode.STORAGE_FAILED, String.valueOf(e.getMessage())));
    }
  }

  private static PeerIdentity peer(String text) {
    int sign = text.indexOf('=');
    PeerRole role =
        PeerRole.of(text.substring(sign + 1))
            .filter(r -> sign > 0)
            .orElseThrow(() -> new IllegalArgumentException("is not name=role: " + text));
    return new PeerIdentity(new VmId(text.substring(0, sign)).value(), role);
  }

  private static ExitCode issue(List<PeerIdentity> peers, Path out, Context context)
      throws IOException {
    for (PeerIdentity peer : peers) {
      if (Files.exists(out.resolve(peer.name()))) {
        throw new IllegalArgumentException(out.resolve(peer.name()) + " exists already");
      }
    }
    CertificateAuthority authority = CertificateAuthority.create();
    List<Line> lines = new ArrayList<>();
    Table table = Table.of("NAME", "ROLE", "FOLDER");
    for (PeerIdentity peer : peers) {
      Path folder = out.resolve(peer.name());
      authority.issue(peer, folder);
      lines.add(new Line(peer.name(), peer.role().text(), folder.toString()));
      table.row(peer.name(), peer.role().text(), folder);
    }
    context.printer().print(new Result(lines), table);
    return ExitCode.OK;
  }
}
