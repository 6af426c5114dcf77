package io.jacinthquay.consensus.storage;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.nio.channels.FileChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.StandardOpenOption;
import java.nio.file.WatchService;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.attribute.UserPrincipalLookupService;
import java.nio.file.spi.FileSystemProvider;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The files of one real folder, each change of which is reported to a {@link RecordedDisk}. */
final class RecordedFileSystem extends FileSystem {
  private final RecordedDisk disk;
  private final Provider provider = new Provider();

  RecordedFileSystem(RecordedDisk disk) {
    this.disk = disk;
  }

  private interface Wrapped {
    Path real();
  }

  /** Returns a path of this file system for a real one. */
  Path wrap(Path real) {
    return (Path)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Path.class, Wrapped.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("real")) {
                return real;
              }
              if (method.getName().equals("getFileSystem")) {
                return this;
              }
              Object[] plain =
                  arguments == null
                      ? new Object[0]
                      : Arrays.stream(arguments).map(RecordedFileSystem::unwrap).toArray();
              try {
                Object result = method.invoke(real, plain);
                return result instanceof Path path ? wrap(path) : result;
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }

  private static Object unwrap(Object value) {
    return value instanceof Wrapped wrapped ? wrapped.real() : value;
  }

  private static Path real(Path path) {
    return (Path) unwrap(path);
  }

  private static String name(Path path) {
    return path.getFileName().toString();
  }

  private static FileSystemProvider realProvider() {
    return java.nio.file.FileSystems.getDefault().provider();
  }

  private final class Provider extends FileSystemProvider {
    @Override
    public FileChannel newFileChannel(
        Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
        throws IOException {
      boolean folder = Files.isDirectory(real(path));
      boolean writes = options.contains(StandardOpenOption.WRITE);
      if (writes) {
        disk.opened(name(path), options.contains(StandardOpenOption.TRUNCATE_EXISTING));
      }
      FileChannel channel = realProvider().newFileChannel(real(path), options, attributes);
      if (folder) {
        return new RecordedChannel(channel, disk, RecordedChannel.FOLDER);
      }
      return writes ? new RecordedChannel(channel, disk, disk.file(name(path))) : channel;
    }

    @Override
    public SeekableByteChannel newByteChannel(
        Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
        throws IOException {
      return newFileChannel(path, options, attributes);
    }

    @Override
    public DirectoryStream<Path> newDirectoryStream(
        Path folder, DirectoryStream.Filter<? super Path> filter) throws IOException {
      List<Path> paths = new ArrayList<>();
      try (DirectoryStream<Path> stream = Files.newDirectoryStream(real(folder))) {
        for (Path path : stream) {
          Path wrapped = wrap(path);
          if (filter.accept(wrapped)) {
            paths.add(wrapped);
          }
        }
      }
      return new DirectoryStream<>() {
        @Override
        public Iterator<Path> iterator() {
          return paths.iterator();
        }

        @Override
        public void close() {}
      };
    }

    @Override
    public void createDirectory(Path folder, FileAttribute<?>... attributes) throws IOException {
      realProvider().createDirectory(real(folder), attributes);
    }

    @Override
    public void delete(Path path) throws IOException {
      if (Files.exists(real(path))) {
        disk.removed(name(path));
      }
      realProvider().delete(real(path));
    }

    @Override
    public void move(Path source, Path target, CopyOption... options) throws IOException {
      if (Files.exists(real(source))) {
        disk.moved(name(source), name(target));
      }
      realProvider().move(real(source), real(target), options);
    }

    @Override
    public void copy(Path source, Path target, CopyOption... options) {
      throw new UnsupportedOperationException("copy");
    }

    @Override
    public boolean isSameFile(Path path, Path other) throws IOException {
      return realProvider().isSameFile(real(path), real(other));
    }

    @Override
    public boolean isHidden(Path path) {
      return false;
    }

    @Override
    public FileStore getFileStore(Path path) throws IOException {
      return realProvider().getFileStore(real(path));
    }

    @Override
    public void checkAccess(Path path, AccessMode... modes) throws IOException {
      realProvider().checkAccess(real(path), modes);
    }

    @Override
    public <V extends FileAttributeView> V getFileAttributeView(
        Path path, Class<V> type, LinkOption... options) {
      return realProvider().getFileAttributeView(real(path), type, options);
    }

    @Override
    public <A extends BasicFileAttributes> A readAttributes(
        Path path, Class<A> type, LinkOption... options) throws IOException {
      return realProvider().readAttributes(real(path), type, options);
    }

    @Override
    public Map<String, Object> readAttributes(Path path, String attributes, LinkOption... options)
        throws IOException {
      return realProvider().readAttributes(real(path), attributes, options);
    }

    @Override
    public void setAttribute(Path path, String attribute, Object value, LinkOption... options) {
      throw new UnsupportedOperationException("setAttribute");
    }

    @Override
    public String getScheme() {
      return "recorded";
    }

    @Override
    public FileSystem newFileSystem(URI uri, Map<String, ?> environment) {
      throw new UnsupportedOperationException("newFileSystem");
    }

    @Override
    public FileSystem getFileSystem(URI uri) {
      return RecordedFileSystem.this;
    }

    @Override
    public Path getPath(URI uri) {
      throw new UnsupportedOperationException("getPath");
    }
  }

  @Override
  public FileSystemProvider provider() {
    return provider;
  }

  @Override
  public void close() {}

  @Override
  public boolean isOpen() {
    return true;
  }

  @Override
  public boolean isReadOnly() {
    return false;
  }

  @Override
  public String getSeparator() {
    return "/";
  }

  @Override
  public Iterable<Path> getRootDirectories() {
    return List.of();
  }

  @Override
  public Iterable<FileStore> getFileStores() {
    return List.of();
  }

  @Override
  public Set<String> supportedFileAttributeViews() {
    return Set.of("basic");
  }

  @Override
  public Path getPath(String first, String... more) {
    return wrap(Path.of(first, more));
  }

  @Override
  public PathMatcher getPathMatcher(String syntaxAndPattern) {
    throw new UnsupportedOperationException("getPathMatcher");
  }

  @Override
  public UserPrincipalLookupService getUserPrincipalLookupService() {
    throw new UnsupportedOperationException("getUserPrincipalLookupService");
  }

  @Override
  public WatchService newWatchService() {
    throw new UnsupportedOperationException("newWatchService");
  }
}
