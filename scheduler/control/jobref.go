package control

// JobRef names a job, or all jobs of a queue, as a call does.
type JobRef struct {
	// ID is empty for the jobs of a queue.
	ID string
	// Queue is the queue that serves the path of the call now.
	Queue string
	// Path is the host and the path of the call, that of a queue without an id.
	Path string
}

// names reports whether the call means the job with the given queue, id and path. A job
// belongs to its path: its queue may have got another name since, or another queue may
// serve its path.
func (r JobRef) names(queue, id, path string) bool {
	switch {
	case queue == r.Queue:
		return r.ID == "" || r.ID == id
	case path == "" || r.Path == "":
		return false
	case r.ID == "":
		return path == r.Path+id
	}
	return path == r.Path && id == r.ID
}
