package main

import (
	"bytes"
	"io"
	"net"
	"time"
)

const (
	linkBuffer  = 32 << 10
	dialTimeout = time.Second
)

// link forwards connections to a worker. It stands for the network between the system's machines and that worker.
type link struct {
	listen, target string
	// owner returns the name of the process that opened a connection.
	owner func(net.Conn) string
	// delay returns how long bytes from a process are on their way.
	delay func(from string) time.Duration
	// onOrder is called when an order of a process enters the link.
	onOrder func(from string)
}

func (l *link) start() error {
	listener, err := net.Listen("tcp", l.listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go l.forward(near)
		}
	}()
	return nil
}

func (l *link) forward(near net.Conn) {
	defer near.Close()
	from := l.owner(near)
	far, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	}()
	buffer := make([]byte, linkBuffer)
	for {
		count, err := near.Read(buffer)
		if count > 0 {
			if bytes.HasPrefix(buffer[:count], []byte("POST /order ")) {
				l.onOrder(from)
			}
			time.Sleep(l.delay(from))
			if _, writeErr := far.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
