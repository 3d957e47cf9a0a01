# The platform of an upgrade: it holds the clients' listener, and for each line that it reads starts the command of its
# first argument with that listener as descriptor 0 and the words NAME=VALUE of the line in the environment. It writes
# the address of the listener, then the number of each process.
use strict;
use warnings;
use Socket;
$| = 1;
$SIG{CHLD} = 'IGNORE';
$SIG{PIPE} = 'IGNORE';
socket(my $listener, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
setsockopt($listener, SOL_SOCKET, SO_REUSEADDR, pack("l", 1));
bind($listener, sockaddr_in(0, INADDR_LOOPBACK)) or die "bind: $!";
listen($listener, 512) or die "listen: $!";
my ($port) = sockaddr_in(getsockname($listener));
print "PORT $port\n";
open(my $orders, "<&STDIN") or die "dup: $!";
open(STDIN, "<&", $listener) or die "dup: $!";
my @started;
while (my $line = <$orders>) {
    chomp $line;
    my $pid = fork;
    if (!$pid) {
        for my $word (split / /, $line) {
            my ($name, $value) = split /=/, $word, 2;
            $ENV{$name} = $value;
        }
        open(STDOUT, ">&STDERR");
        exec "/bin/sh", "-c", $ARGV[0];
    }
    push @started, $pid;
    print "PID $pid\n";
}
# No more orders: whoever gave them has ended.
kill "KILL", @started;
